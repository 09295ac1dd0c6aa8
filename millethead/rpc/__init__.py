"""Internal protocol: typed records packed with `struct`, and framed connections that carry them."""
