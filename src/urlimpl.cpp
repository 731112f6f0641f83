// The one place where the bodies of Boost.URL are compiled: the library is not packaged in compiled form.
#include <boost/url/src.hpp>
