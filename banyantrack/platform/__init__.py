"""Adapter to the platform, the external system that jobs are run for.

Names and formats of the platform's HTTP interface are read and written in this
package only. The rest of banyantrack uses the types of `generated.workload`
and `workload.worker_client`. The package makes no scheduling decisions.
"""
