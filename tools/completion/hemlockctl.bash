# Bash completion for hemlockctl: source this file.

_hemlockctl() {
    local current=${COMP_WORDS[COMP_CWORD]}
    local commands="submit validate diff show status drain undrain members runs report token log explain"
    local options="--settings= --json --timeout= --help"
    local command="" word
    for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $word in
        -* | =) ;;
        *)
            command=$word
            break
            ;;
        esac
    done

    local choices="" files=""
    case $command in
    "") choices="$commands" ;;
    submit)
        options+=" --base= --submit-id="
        files=yes
        ;;
    validate | diff | explain) files=yes ;;
    show) options+=" --section=" ;;
    drain) options+=" --team= --reason=" ;;
    members) choices="add remove replace" ;;
    runs) choices="show" ;;
    report) choices="burn" ;;
    token) choices="hash" ;;
    log)
        choices="verify"
        files=yes
        ;;
    esac

    if [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
        [[ ${COMPREPLY[0]:-} == *= ]] && compopt -o nospace
        return
    fi
    mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$current")
    [[ -n $files ]] && mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -f -- "$current")
}

complete -F _hemlockctl hemlockctl
