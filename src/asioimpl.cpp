// Compiles the implementation of Asio and Beast, which the other sources include as declarations only.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
