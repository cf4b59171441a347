// drumlandingctl: the operators' command line.
#include "commands.h"
#include "roll-out.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <sodium.h>

DEFINE_string(platform, "",
              "[network] IP:port of the platform's store "
              "(roll-out, status)");
DEFINE_string(control_key, "",
              "[security] shared key of the daemons "
              "(status): 64 hexadecimal digits");
DEFINE_string(key, "", "[signing] file with the secret key");
DEFINE_string(role, "", "[signing] author or approver");
DEFINE_string(out, "", "[signing] file to write; the input file if empty");
DEFINE_bool(json, false, "[output] print JSON (status)");

namespace {

using namespace drumlanding;

constexpr std::string_view Flags[] = {"platform", "control_key", "key",
                                      "role",     "out",         "json"};
constexpr std::string_view Synopsis =
    "drumlandingctl: configures drumlanding by signed, versioned bundles\n"
    "\n"
    "  keygen NAME               generate a key pair: NAME.key and NAME.pub\n"
    "  control-key               generate the shared key of the daemons\n"
    "  credential                generate an organisation's credential\n"
    "  bundle check FILE         check a bundle\n"
    "  bundle diff OLD NEW       show the differences\n"
    "  bundle sign FILE          sign: --role author|approver --key FILE\n"
    "  bundle roll-out FILE      roll out a signed bundle: --platform\n"
    "  bundle status             show versions per place: --platform "
    "--control_key\n"
    "  explain REQUEST FILE...   explain a request's outcome from gateways' "
    "logs";

int runBundle(ctl::Arguments args) {
  const std::string verb = args.empty() ? "" : args[0];
  const ctl::Arguments rest = args.empty() ? args : args.subspan(1);
  if (verb == "check")
    return ctl::checkBundle(rest);
  if (verb == "diff")
    return ctl::diffBundleFiles(rest);
  if (verb == "sign")
    return ctl::signBundle(rest, FLAGS_role, FLAGS_key, FLAGS_out);
  if (verb != "roll-out" && verb != "status")
    return ctl::reportError(
        base::invalid("bundle " + verb,
                      "unknown command; --help lists the commands"),
        ctl::ExitUsage);
  const auto platform = base::parseEndpoint("--platform", FLAGS_platform);
  if (!ok(platform))
    return ctl::reportError(error(platform), ctl::ExitUsage);
  if (verb == "roll-out")
    return ctl::rollOut(rest, value(platform));
  return ctl::status(value(platform), FLAGS_control_key, FLAGS_json);
}

} // namespace

int main(int argc, char **argv) {
  if (sodium_init() < 0)
    return ctl::ExitUsage;
  const auto read = base::readSettings(argc, argv, Synopsis, Flags);
  if (!ok(read))
    base::exitOnBadSettings(error(read));
  const ctl::Arguments args = value(read);
  const std::string verb = args.empty() ? "" : args[0];
  if (verb == "keygen")
    return ctl::keygen(args.subspan(1));
  if (verb == "control-key")
    return ctl::controlKey();
  if (verb == "credential")
    return ctl::credential();
  if (verb == "explain")
    return ctl::explainRequest(args.subspan(1));
  if (verb == "bundle")
    return runBundle(args.subspan(1));
  return ctl::reportError(
      base::invalid(verb.empty() ? "drumlandingctl" : verb,
                    "unknown command; --help lists the commands"),
      ctl::ExitUsage);
}
