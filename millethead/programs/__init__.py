"""Entry points of the system: long-running programs and the command line, assembled from the other packages."""
