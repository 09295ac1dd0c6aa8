"""HTTP/1.1 over Tornado's IOStream: listeners, connections, message parsing, the worker connection pool, and clients
of the workers and of the discovery service."""
