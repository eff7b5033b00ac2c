# Shares for Addis Artisan Market: turned on with --operators deploy/shares.hcl (docs/shares-operations.md).
# stall-registry is of priority prod and ranks above shares; what it leaves is divided between the surveys and
# the work of guests. A class that the platform's objectives don't name is refused at start.
shares {
  generation   = 1    # raise it to replace the stored table by this one
  reclaim_step = 0.1  # of the machines, at once
  others       = 1    # work that no group below holds

  group "class:price-survey" { weight = 3 }
}
