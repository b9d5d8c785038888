//! Plays one case of the review: `stand CASE FOLDER`, from the root of the repository. `FOLDER` is the case's
//! folder in `review/`, to which the record is written.
mod drained_backend_after_failed_upgrade;
mod drained_backend_after_restart_with_pushed_lists;
mod drained_backend_after_upgrade_in_outage;
mod operator_call_beside_idle_callers;
#[allow(dead_code)]
mod stand;
mod two_owners_after_spoilt_report;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else { panic!("wanted: stand CASE FOLDER") };
    stand::begin(folder);
    match case.as_str() {
        "drained-backend-after-failed-upgrade" => drained_backend_after_failed_upgrade::play(),
        "drained-backend-after-upgrade-in-outage" => drained_backend_after_upgrade_in_outage::play(),
        "operator-call-beside-idle-callers" => operator_call_beside_idle_callers::play(),
        "two-owners-after-spoilt-report" => two_owners_after_spoilt_report::play(),
        "drained-backend-after-restart-with-pushed-lists" => {
            drained_backend_after_restart_with_pushed_lists::play()
        }
        other => stand::give_up(&format!("there is no case {other}")),
    }
}
