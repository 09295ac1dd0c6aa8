"""The protocols that clients speak. Fronts translate; they never choose workers, retry or refuse."""
