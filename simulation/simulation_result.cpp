#include "simulation/simulation_result.h"

namespace clementinegap {

double simulation_result::worth_share() const
{
    double worth = 0;
    double owed = 0;
    for (const auto& kind : kinds) {
        worth += kind.worth;
        owed += kind.worth_owed;
    }
    return owed > 0 ? worth / owed : 0;
}

} // namespace clementinegap
