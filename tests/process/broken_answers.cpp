#include "process/broken_answers.h"

namespace clementinegap::testing {

std::vector<std::string> broken_answers(const std::string& fields)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string body = "Content-Length: 2\r\n\r\nok";
    const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
    return {"HTTP/1.1 000 x\r\n" + fields + body,
            "HTTP/1.1 0200 x\r\n" + fields + body,
            "HTTP/1.1 099 x\r\n\r\n" + head + body,
            "\r\n" + head + body,
            "HTTP/1.1 200 OK\r\n X-Name: v\r\n" + fields + body,
            head + "X Name: v\r\n" + body,
            head + "X-Name : v\r\n" + body,
            head + "X\x01Name: v\r\n" + body,
            head + "X-Name: a\x01z\r\n" + body,
            head + "X-Name: v\r\n folded\r\n" + body,
            head + "X-Name: v\n" + body,
            head + "Transfer-Encoding : chunked\r\n" + chunks,
            head + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
            head + "Transfer-Encoding: identity\r\n\r\nok",
            "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n" + chunks,
            head + "Content-Length:\r\n\r\nok",
            "HTTP/1.1 204 x\r\n" + fields + body,
            "HTTP/1.1 101 x\r\n\r\n" + head + body,
            "HTTP/1.1 100 x\r\nContent-Length: 2\r\n\r\nok" + head + body,
            head + "Transfer-Encoding: chunked\r\n\r\n2 x\r\nok\r\n0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n2\r\nokxy0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Name: v\r\n\r\n"};
}

} // namespace clementinegap::testing
