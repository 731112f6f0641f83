// Compiles the implementation of Boost.URL, because the library is not packaged in compiled form.
#include <boost/url/src.hpp>
