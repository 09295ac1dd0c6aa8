"""HTTP/1.1 server for bottle applications on the event loop; handlers respond at once or later."""
