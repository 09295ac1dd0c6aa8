"""Hot restart: a process hands its listener, connections, jobs and learned state over to its successor."""
