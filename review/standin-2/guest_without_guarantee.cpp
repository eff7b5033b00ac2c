// Case 11: the other team is a guest without a guarantee that runs one large array, and the job within its team's
// guarantee is an array of the same priority.
#include "guarantee_case.hpp"

using namespace deployment;

int main(int argc, char** argv) {
  GuaranteeCase test;
  Json sweep = onFloor(SmallSite::job("job-000200", "surveillance-sweep", "compliance-lab", "sweep", "standard", 16, 2,
                                      2.9, "sweep"));
  sweep["expectS"] = 150.0;
  test.borrowers.push_back(sweep);
  test.borrowersRunS = 150;
  test.borrowedTasks = 16;
  test.owner = onFloor(SmallSite::job("job-000100", "fill-recon", "desk-team-01", "sweep", "standard", 4, 2, 2.9, "recon"));
  test.owner["expectS"] = 4.0;
  test.ownerRunS = 4;
  return guaranteeMain(argc, argv, test);
}
