# Fair shares for Addis Artisan Market, enabled with --operators deploy/shares.hcl.
# docs/shares-operations.md describes how to change them. stall-registry has priority prod, which takes
# precedence over shares. The capacity that it leaves is divided between the surveys and the work of guests.
# The service doesn't start if a group names a class that the platform's objectives don't name.
shares {
  generation   = 1    # a higher number replaces the stored table by this one
  reclaim_step = 0.1  # share of the machines that is reclaimed at once
  others       = 1    # weight of all work that belongs to no group below

  group "class:price-survey" { weight = 3 }
}
