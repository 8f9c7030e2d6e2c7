#ifndef RHUBARBRUN_TRANSPORT_ASIO_HPP
#define RHUBARBRUN_TRANSPORT_ASIO_HPP

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>,
// so every use of Asio goes through this header.
#include <utility>

#include <boost/asio.hpp>

namespace rhubarbrun::inline v1 {

namespace asio = boost::asio;
using boost::system::error_code;

} // namespace rhubarbrun::inline v1

#endif
