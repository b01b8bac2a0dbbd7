//! Small stand-ins for model engines, plain services, the platform's list and the weight store, for tests and the demo.

fn main() {}
