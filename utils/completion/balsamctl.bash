# Bash completion for balsamctl. Source this file to enable it.
_balsamctl() {
    local word=${COMP_WORDS[COMP_CWORD]}
    case ${COMP_WORDS[COMP_CWORD - 1]} in
    put | check | diff)
        mapfile -t COMPREPLY < <(compgen -f -- "$word")
        return
        ;;
    get | rm)
        mapfile -t COMPREPLY < <(compgen -W "$(balsamctl ls 2>/dev/null | awk '{print $2}')" -- "$word")
        return
        ;;
    timeline)
        mapfile -t COMPREPLY < <(compgen -W "node= server= call= kind= since=" -- "$word")
        return
        ;;
    esac
    mapfile -t COMPREPLY < <(compgen -W "ls get put rm check diff status explain timeline trace metrics --store --nodes --deployment --expect --json --help --version" -- "$word")
}
complete -F _balsamctl balsamctl
