"""Request dispatch: admission, load balancing, retries and claims."""
