"""DNS front: routes clients by DNS answers that the dispatcher decides, as it does HTTP requests."""
