"""Delayed jobs: held until a set time, until other jobs end, or, after a refusal, until they can be offered again."""
