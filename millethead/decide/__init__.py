"""The decision module with its settings, events and actions. It knows no wire and no clock."""
