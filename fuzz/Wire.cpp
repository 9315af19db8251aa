// Decodes datagrams from untrusted senders: invalid input gives an error, and the updates of a
// decoded message survive encoding and decoding.
#include "balsamreel/Wire/Messages.h"

#include <cstdlib>

using namespace balsamreel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    Wire::Message message;
    if (Wire::decode({data, size}, message))
        return 0;
    Wire::Message decodedAgain;
    auto bytes = Wire::encode(message);
    if (bytes.size() <= Wire::maximumDatagramBytes && (Wire::decode(bytes, decodedAgain) || decodedAgain.updates != message.updates))
        std::abort();
    return 0;
}
