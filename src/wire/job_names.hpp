// The names of job kinds and priorities in messages. Internal to the package.
#pragma once

#include "wire/enum_names.hpp"
#include "wire/types.hpp"

namespace reachhoist::wire {

inline constexpr EnumName<JobKind> kJobKindNames[] = {
    {JobKind::array, "sweep"}, {JobKind::service, "daemon"}, {JobKind::gang, "ensemble"}};

inline constexpr EnumName<Priority> kPriorityNames[] = {{Priority::bestEffort, "best_effort"},
                                                        {Priority::standard, "standard"},
                                                        {Priority::high, "high"},
                                                        {Priority::prod, "prod"}};

}  // namespace reachhoist::wire
