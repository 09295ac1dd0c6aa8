"""What the scripts of the second review share: a small deployment on loopback, with stand-ins for its surroundings."""
