# Fair shares for Lakeshore Order Desk, enabled with --operators deploy/shares-lakeshore.hcl.
# order-gateway has priority prod, which takes precedence over shares. The capacity that it leaves is divided
# among all other work.
shares {
  generation   = 1    # a higher number replaces the stored table by this one
  reclaim_step = 0.1  # share of the machines that is reclaimed at once
  others       = 1    # weight of all work that belongs to no group below

  group "class:fill-recon" { weight = 4 }
  group "class:commission-recalc" { weight = 1 }
}
