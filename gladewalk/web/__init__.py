"""HTTP front for an imported nginx site: ordinary HTTP/1.1, one core for each upstream; off by default."""
