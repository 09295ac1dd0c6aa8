"""The Faktory work protocol: jobs pushed by clients, and workers that fetch them."""
