#include "adapters/peer_identity.h"

#include <grpcpp/security/auth_context.h>

namespace clementinegap {

std::optional<peer_identity> identity_from(std::string_view common_name)
{
    const auto dot = common_name.find('.');
    if (dot == std::string_view::npos || dot + 1 == common_name.size()) {
        return std::nullopt;
    }
    const auto role = common_name.substr(0, dot);
    if (role != "entry" && role != "upstream" && role != "operator") {
        return std::nullopt;
    }
    return peer_identity{std::string(role), std::string(common_name.substr(dot + 1))};
}

std::optional<peer_identity> identity_of(const grpc::AuthContext& context)
{
    if (!context.IsPeerAuthenticated()) {
        return std::nullopt;
    }
    const auto names = context.FindPropertyValues("x509_common_name");
    if (names.size() != 1) {
        return std::nullopt;
    }
    return identity_from({names.front().data(), names.front().size()});
}

} // namespace clementinegap
