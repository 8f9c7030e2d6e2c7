#ifndef RHUBARBRUN_SRC_PROTOCOL_STATEMENT_CLASSIFY_HPP
#define RHUBARBRUN_SRC_PROTOCOL_STATEMENT_CLASSIFY_HPP

#include "sql_tokens.hpp"

#include <rhubarbrun/protocol/statement_shape.hpp>

namespace rhubarbrun::detail {

/// Sets what `info` says of the statement, except its text. `tokens` must not
/// be empty.
auto classify(const sql_statement_tokens& tokens, statement_info& info) -> void;

} // namespace rhubarbrun::detail

#endif
