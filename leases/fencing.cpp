#include "leases/fencing.h"

namespace clementinegap {

bool fencing_guard::admit(std::uint64_t number)
{
    if (number < highest_) {
        return false;
    }
    highest_ = number;
    return true;
}

} // namespace clementinegap
