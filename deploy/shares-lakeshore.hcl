# Shares for Lakeshore Order Desk: turned on with --operators deploy/shares-lakeshore.hcl.
# order-gateway is of priority prod and ranks above shares; what remains is divided among the rest.
shares {
  generation   = 1    # raise it to replace the stored table by this one
  reclaim_step = 0.1  # of the machines, at once
  others       = 1    # work that no group below holds

  group "class:fill-recon" { weight = 4 }
  group "class:commission-recalc" { weight = 1 }
}
