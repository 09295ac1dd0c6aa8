"""HTTP/1.1 serving: bottle applications whose handlers answer at once or later, on the process's one event loop."""
