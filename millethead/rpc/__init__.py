"""Internal protocol: typed records in a binary encoding, and framed TCP connections that carry them."""
