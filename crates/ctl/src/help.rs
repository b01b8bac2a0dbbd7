//! The text of `clemctl --help`.

/// The text of `--help`; a snapshot test of the checks crate covers it.
pub(crate) const HELP: &str = "\
clemctl: checks and applies rules files, and manages the fleet.

Usage: clemctl COMMAND [FLAGS]

  check FILE
      Validate a rules file locally, without the control group.
  apply FILE --expect VERSION [--id COMMAND_ID] [--timeout SECONDS]
      Apply a rules file if VERSION is still in force. Repeating the command under
      the same id changes nothing and gives the first result.
  rules
      Print the rules file in force; its version goes to standard error.
  status [--json]
      Print members, lease holders, targets and the latest orders.
  key new [--customer ID] [--key-id ID]
      Print a new key and its rule. The key is not stored and can't be shown again.
  drain TARGET [--force] [--id COMMAND_ID]
  resume TARGET [--id COMMAND_ID]
      Drain a target, or put it back into service.
  order load|unload TARGET MODEL VERSION [--expect FENCE] [--force] [--id COMMAND_ID]
  order adapter TARGET MODEL VERSION ADAPTER [--expect FENCE] [--id COMMAND_ID]
      Order an engine to load or unload a model. With --expect, only if FENCE is the
      target's newest order.
  members [add IP:PORT | remove IDENTITY | transfer IDENTITY] [--id COMMAND_ID]
      Print or change the control group.

  --control IP:PORT,...       the control processes, environment: CLEM_CONTROL
  --fleet-secret-file FILE    the fleet's secret, environment: CLEM_FLEET_SECRET_FILE
  --help                      print this text
  --version                   print the version

Exit codes: 0 success, 1 failure or unknown outcome, 2 invalid settings, 3 conflict
with another operator, 4 findings in the rules file or a rejected order.
";
