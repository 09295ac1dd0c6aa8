"""The Faktory work protocol: clients push jobs, and workers fetch them."""
