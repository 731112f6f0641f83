#include "loadrun.h"
#include "options.h"
#include "report.h"

#include "laburnumspar/errors.h"

#include <sys/resource.h>

#include <fstream>
#include <iostream>

using namespace laburnumspar;
using namespace laburnumspar::tools;

namespace {

/// Raises the limit of open files to the hard limit, because open-loop load may need many connections at once.
void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int run(const LoadOptions &options)
{
    raiseFileLimit();
    const auto report = runLoad(options);
    printReport(std::cout, report);
    if (!options.json.empty()) {
        std::ofstream out(options.json);
        out << toJson(report);
        if (!out.flush()) {
            throw UsageError("cannot write report file " + options.json);
        }
    }
    return report.passed() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const auto options = parseLoadOptions(argc, argv);
        return options ? run(*options) : 0;
    } catch (const UsageError &error) {
        std::cerr << "lspar-load: " << error.what() << '\n';
        return 2;
    } catch (const SettingsError &error) {
        std::cerr << "lspar-load: " << error.what() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << "lspar-load: " << error.what() << '\n';
        return 3;
    }
}
