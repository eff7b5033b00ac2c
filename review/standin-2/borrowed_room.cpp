// Case 9: both teams run services of the same priority.
#include "guarantee_case.hpp"

using namespace deployment;

int main(int argc, char** argv) {
  const auto service = [](const std::string& ref, const std::string& team, int tasks) {
    return onFloor(SmallSite::job(ref, "order-gateway", team, "daemon", "prod", tasks, 2, 3.6, "gateway"));
  };
  GuaranteeCase test;
  for (int i = 1; i <= 4; ++i) test.borrowers.push_back(service("job-00000" + std::to_string(i), "desk-team-00", 4));
  test.borrowedTasks = 16;
  test.borrowersGuaranteeCpus = 24;
  test.owner = service("job-000005", "desk-team-01", 1);
  return guaranteeMain(argc, argv, test);
}
