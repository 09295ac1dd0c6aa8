"""Front ends: the protocols of the clients. They translate requests, and make no scheduling decisions."""
