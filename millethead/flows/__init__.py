"""Export of flow records in the IPFIX format."""
