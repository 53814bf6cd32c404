#pragma once

#include "main/command_line.h"

namespace clementinegap {

/// `load run EXPERIMENT LABEL RESULT PLATFORM_URL ENGINE_URLS ENTRY_URLS`: runs an experiment against a
/// deployment that is there and adds the run's figures to the result file.
exit_code load_run_command(const std::vector<std::string>& words);

/// `load shape EXPERIMENT`: the deployment that the experiment needs, as shell assignments.
exit_code load_shape_command(const std::vector<std::string>& words);

/// `load report RESULT SVG`: the result's table to standard output, its gnuplot script to RESULT.gnuplot.
exit_code load_report_command(const std::vector<std::string>& words);

} // namespace clementinegap
