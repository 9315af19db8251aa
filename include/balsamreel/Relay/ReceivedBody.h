// Body type for the parsers of Boost.Beast that counts what arrives in a budget.
#pragma once

#include "balsamreel/Relay/Body.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>

namespace balsamreel::Relay {

/// Fails with not_enough_memory if the budget has no room. An announced length takes nothing from the budget.
struct ReceivedBody {
    using value_type = BodyReceiver;

    class reader { // NOLINT(readability-identifier-naming): the name that Beast expects
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>& /*header*/, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*announcedLength*/, boost::system::error_code& error) { error = {}; }

        template <typename Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            std::size_t count = 0;
            auto end = boost::asio::buffer_sequence_end(buffers);
            for (auto buffer = boost::asio::buffer_sequence_begin(buffers); buffer != end; ++buffer) {
                boost::asio::const_buffer bytes(*buffer);
                if (!body_.append({static_cast<const char*>(bytes.data()), bytes.size()}, Support::monotonicNow())) {
                    error = make_error_code(boost::system::errc::not_enough_memory);
                    return count;
                }
                count += bytes.size();
            }
            return count;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace balsamreel::Relay
