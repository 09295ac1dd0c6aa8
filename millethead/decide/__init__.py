"""The decision module with its settings, events and actions. It does no input or output and reads no clock."""
