"""Export of flow records."""
