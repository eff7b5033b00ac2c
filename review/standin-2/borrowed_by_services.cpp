// Case 10: the other team runs services, and the job within its team's guarantee is an array.
#include "guarantee_case.hpp"

using namespace deployment;

int main(int argc, char** argv) {
  GuaranteeCase test;
  for (int i = 1; i <= 4; ++i)
    test.borrowers.push_back(onFloor(SmallSite::job("job-00000" + std::to_string(i), "order-gateway", "desk-team-00",
                                                    "daemon", "prod", 4, 2, 3.6, "gateway")));
  test.borrowedTasks = 16;
  test.borrowersGuaranteeCpus = 24;
  test.owner = onFloor(SmallSite::job("job-000100", "fill-recon", "desk-team-01", "sweep", "standard", 4, 2, 2.9, "recon"));
  test.owner["expectS"] = 4.0;
  test.ownerRunS = 4;
  return guaranteeMain(argc, argv, test);
}
