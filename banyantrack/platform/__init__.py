"""The platform's names, formats and calls; decides nothing.

Each name on the wire is read and written in this package only. The rest of
banyantrack sees the types of `generated.workload` and
`workload.worker_client`.
"""
