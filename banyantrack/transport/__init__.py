"""Network connections: RPC between daemons, HTTP to other processes."""
