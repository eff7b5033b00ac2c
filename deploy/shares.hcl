# Shares for Addis Artisan Market: turned on with --operators deploy/shares.hcl (docs/shares-operations.md).
# stall-registry is of priority prod and ranks above shares; what remains is divided among the rest.
shares {
  generation   = 1    # raise it to replace the stored table by this one
  reclaim_step = 0.1  # of the machines, at once
  others       = 1    # work that no group below holds

  group "class:price-survey" { weight = 3 }
  group "class:loom-census" { weight = 1 }
  group "class:kiln-audit" { weight = 1 }
}
