#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace grpc {
class AuthContext;
} // namespace grpc

namespace clementinegap {

/// Who a peer is by its certificate, whose common name is "ROLE.VM", such as "entry.vm-17"; the roles are
/// entry, upstream, and operator for the command line.
struct peer_identity {
    std::string role;
    std::string vm;
};

/// Nothing for a name of another form.
std::optional<peer_identity> identity_from(std::string_view common_name);

/// Nothing for a peer without a certificate of that form.
std::optional<peer_identity> identity_of(const grpc::AuthContext& context);

} // namespace clementinegap
