//! Messages between the processes of the system, their codec and their client.
