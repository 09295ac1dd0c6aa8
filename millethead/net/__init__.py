"""HTTP/1.1 over Tornado's IOStream, in modules by stage of a request."""
