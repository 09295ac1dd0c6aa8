"""The programs of the system: thin assemblies of the planes' libraries."""
