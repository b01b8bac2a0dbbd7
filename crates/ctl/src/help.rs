//! The help text.

/// What `--help` prints.
pub(crate) const HELP: &str = "\
clemctl: checks and applies the rules, and looks after the fleet.

Usage: clemctl COMMAND [FLAGS]

  check FILE
      Check a rules file without asking the control group.
  apply FILE --expect VERSION [--id COMMAND_ID] [--timeout SECONDS]
      Put a rules file in force, if VERSION is still the one in force. Sent again
      under the same id, it gets the first answer and changes nothing.
  rules
      Print the rules file in force; its version goes to standard error.
  status [--json]
      Print members, lease holders, targets and the latest orders.
  key new [--customer ID] [--key-id ID]
      Print a new key, once, and the rule that stands for it.
  drain TARGET [--force] [--id COMMAND_ID]
  resume TARGET [--id COMMAND_ID]
      Take a target out of use, or back into use.
  order load|unload TARGET MODEL VERSION [--expect FENCE] [--force] [--id COMMAND_ID]
  order adapter TARGET MODEL VERSION ADAPTER [--expect FENCE] [--id COMMAND_ID]
      Order an engine to load or unload. With --expect, only if FENCE is the newest
      order that the target was given.
  members [add IP:PORT | remove IDENTITY | transfer IDENTITY] [--id COMMAND_ID]
      Print or change the control group.

  --control IP:PORT,...       the control processes, environment: CLEM_CONTROL
  --fleet-secret-file FILE    the fleet's secret, environment: CLEM_FLEET_SECRET_FILE
  --help                      print this text
  --version                   print the version

Exit codes: 0 done, 1 failed or outcome not known, 2 bad settings, 3 conflict with
another operator, 4 findings in the rules file or a refused order.
";
