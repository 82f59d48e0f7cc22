"""Stand-ins of the platform for the cases 11 to 15: store, executors and clients."""
